"""Decision logic, log folds and wire messages of wagtailstream; no I/O."""
