// Package keeper implements the home of a shard: the host, chosen by rendezvous
// hashing, that holds the turns and token budgets of the shard's programs. The home
// records these turns and budgets in the shard's partition of the platform's store.
//
// A turn is one answered request of a program. Turns form trees, as a turn may
// continue an earlier turn. The chain of a turn is the text of the turn and of all
// turns before it.
//
// Each append is conditional on the partition's end offset. If two hosts both
// consider themselves home of a shard, the later append fails. The host that sent
// it then reads the new records and builds its own records again from the updated
// state.
package keeper
