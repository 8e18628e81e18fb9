"""Tests of one package, one file a module."""
