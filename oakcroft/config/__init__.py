"""The configuration language: S-expressions with units, definitions and includes, checked whole, compiled, compared."""
