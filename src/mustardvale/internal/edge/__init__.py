"""Connect the reducer to sockets, clocks, metrics and logs."""
