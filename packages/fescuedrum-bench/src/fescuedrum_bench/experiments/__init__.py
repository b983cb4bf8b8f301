"""The experiments, one module each with ``async def run(scale, seed)``."""
