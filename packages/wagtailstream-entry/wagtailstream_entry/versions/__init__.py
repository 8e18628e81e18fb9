"""Ratings of answers, and the suspension of versions that perform badly."""
