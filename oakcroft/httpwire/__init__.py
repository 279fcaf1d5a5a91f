"""HTTP/1.1 client and server over trio streams, on h11, with limits and the observed progress of each exchange."""
