"""Start sites, send load and measure."""
