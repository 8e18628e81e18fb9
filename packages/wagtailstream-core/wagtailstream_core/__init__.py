"""Decision logic, replicated state and wire messages; does no I/O."""
