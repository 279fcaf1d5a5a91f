"""What every kind of front runs on: the clock, the logs, the collections of memory."""
