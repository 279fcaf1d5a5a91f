"""The front among others: the list it goes by, how it comes and goes."""
