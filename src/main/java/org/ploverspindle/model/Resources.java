package org.ploverspindle.model;

/**
 * Amounts of cores, accelerators and memory in thousandths (memory: of a GB). Integers, so that
 * sums neither drift nor depend on the order of addition.
 */
public record Resources(long cores, long accelerators, long memory) {
  /** No resources at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Absorbs the rounding error of a decimal amount that is a whole number of thousandths. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** What a task occupies: rounded up, so that it is never assumed to be smaller than it is. */
  public static Resources needed(double cores, double accelerators, double memoryGb) {
    return new Resources(roundUp(cores), roundUp(accelerators), roundUp(memoryGb));
  }

  /** What a machine offers: rounded down, so that it is never assumed to be larger than it is. */
  public static Resources offered(double cores, double accelerators, double memoryGb) {
    return new Resources(roundDown(cores), roundDown(accelerators), roundDown(memoryGb));
  }

  private static long roundUp(double amount) {
    return (long) Math.ceil(amount * 1000 - ROUNDING_TOLERANCE);
  }

  private static long roundDown(double amount) {
    return (long) Math.floor(amount * 1000 + ROUNDING_TOLERANCE);
  }

  /** The sum. */
  public Resources plus(Resources other) {
    return new Resources(
        cores + other.cores, accelerators + other.accelerators, memory + other.memory);
  }

  /** The difference; its amounts may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cores - other.cores, accelerators - other.accelerators, memory - other.memory);
  }

  /** Whether each of the amounts is at most the free one. */
  public boolean fitsIn(Resources free) {
    return cores <= free.cores && accelerators <= free.accelerators && memory <= free.memory;
  }

  /**
   * How many tasks of this size fit into these resources; {@link Integer#MAX_VALUE} for a size of
   * {@link #NONE}.
   */
  public int capacityFor(Resources taskSize) {
    long count = Integer.MAX_VALUE;
    if (taskSize.cores > 0) {
      count = Math.min(count, cores / taskSize.cores);
    }
    if (taskSize.accelerators > 0) {
      count = Math.min(count, accelerators / taskSize.accelerators);
    }
    if (taskSize.memory > 0) {
      count = Math.min(count, memory / taskSize.memory);
    }
    return (int) Math.max(0, count);
  }
}
