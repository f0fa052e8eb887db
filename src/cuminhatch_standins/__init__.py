"""Small programs that take the place of backend servers and platform."""
