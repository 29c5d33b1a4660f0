"""Start test sites, send load to them and measure the results."""
