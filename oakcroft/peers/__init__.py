"""Communication between fronts: sockets, timers and files. Imported only if the configuration has (peers …)."""
