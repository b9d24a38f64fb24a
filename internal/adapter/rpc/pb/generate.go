// Package pb holds the generated messages and drpc stubs of the protocol
// between masticwing's processes. Run `make generate` after a change of
// masticwing.proto.
package pb
