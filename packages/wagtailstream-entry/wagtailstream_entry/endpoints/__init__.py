"""Links to endpoints, and the choice among them."""
