"""Which plan, pool, wing, title and rung a request comes to."""
