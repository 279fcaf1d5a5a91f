"""The configuration language: S-expressions with units, definitions and includes, with a checker and a diff."""
