"""The commands of fescuedrum, one module each."""
