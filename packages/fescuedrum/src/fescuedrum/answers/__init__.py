"""Read HTTP answers as strictly as RFC 9110 and RFC 9112 define them."""
