// Package pb holds the generated messages of the ledger's documents. Run
// `make generate` after a change of ledger.proto.
package pb
