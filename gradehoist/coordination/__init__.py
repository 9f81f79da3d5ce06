"""What the processes of one fleet share: the store, sessions, membership, fencing. Free of I/O."""
