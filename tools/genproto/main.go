// Command genproto compiles a .proto file and runs code generator plugins on it, as protoc
// does. It is written in Go so that the code can be generated without protoc installed.
//
// Usage: genproto FILE.proto PLUGIN...
//
// FILE.proto is in the current directory, where the generated files are written with
// paths=source_relative. Each PLUGIN is the path of a protoc plugin.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: genproto FILE.proto PLUGIN...")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

func run(file string, plugins []string) error {
	// The generators copy comments from the source info into the code.
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}, SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := c.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	req := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file}, Parameter: proto.String("paths=source_relative"),
		ProtoFile: []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}
	in, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	for _, p := range plugins {
		if err := generate(p, in); err != nil {
			return fmt.Errorf("%s: %w", p, err)
		}
	}
	return nil
}

// generate runs a plugin on an encoded request and writes the files that it returns.
func generate(plugin string, request []byte) error {
	cmd := exec.Command(plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(request), os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return err
	}
	var res pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &res); err != nil {
		return err
	}
	if res.Error != nil {
		return fmt.Errorf("%s", res.GetError())
	}
	for _, f := range res.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
