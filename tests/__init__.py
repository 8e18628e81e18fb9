"""Tests; they mirror the packages."""
