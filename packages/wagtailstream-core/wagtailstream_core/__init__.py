"""Pure decisions, folds and wire messages of wagtailstream; no I/O."""
