"""Connect the reducers to sockets, clocks, metrics and logs."""
