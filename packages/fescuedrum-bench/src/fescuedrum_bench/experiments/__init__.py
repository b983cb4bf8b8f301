"""Hold one module for each experiment: ``async def run(scale, seed)``."""
