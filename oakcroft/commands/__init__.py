"""Commands for operators, beside those that run a front: state files, catalogues, and fronts that run."""
