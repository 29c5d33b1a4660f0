"""Hold the parts that are not a public interface."""
