// Package allocator bounds the memory that a host uses for what others send it, all of it
// together. Each response takes its memory from a Pool by a Grant. No Grant may hold more than
// what remains free beside it: many endless responses share the Pool evenly and fail, each
// at its share, while a normal response still finds room.
package allocator
