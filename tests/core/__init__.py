"""Tests of the core: folds and decisions."""
