package org.ploverspindle.model;

/**
 * Amounts of cores, accelerators and memory. The amounts are integers, so that sums have no
 * rounding errors and do not depend on the order of addition.
 *
 * @param cores processor cores, in thousandths of a core
 * @param accelerators accelerators, in thousandths of an accelerator
 * @param memory memory, in thousandths of a GB
 */
public record Resources(long cores, long accelerators, long memory) {
  /** Zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Tolerance in thousandths. A decimal amount that is a whole number of thousandths may differ
   * from it by a floating-point error, and must not be rounded to the next number because of it.
   */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /**
   * The resources that a task needs, from amounts in cores, accelerators and GB. Amounts are
   * rounded up, so that a task is never assumed to need less than it does.
   */
  public static Resources needed(double cores, double accelerators, double memoryGb) {
    return new Resources(roundUp(cores), roundUp(accelerators), roundUp(memoryGb));
  }

  /**
   * The resources that a machine offers, from amounts in cores, accelerators and GB. Amounts are
   * rounded down, so that a machine is never assumed to offer more than it does.
   */
  public static Resources offered(double cores, double accelerators, double memoryGb) {
    return new Resources(roundDown(cores), roundDown(accelerators), roundDown(memoryGb));
  }

  private static long roundUp(double amount) {
    return (long) Math.ceil(amount * 1000 - ROUNDING_TOLERANCE);
  }

  private static long roundDown(double amount) {
    return (long) Math.floor(amount * 1000 + ROUNDING_TOLERANCE);
  }

  /** The sum of these and the other resources. */
  public Resources plus(Resources other) {
    return new Resources(
        cores + other.cores, accelerators + other.accelerators, memory + other.memory);
  }

  /** These resources less the other ones. The amounts of the result may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cores - other.cores, accelerators - other.accelerators, memory - other.memory);
  }

  /** Whether no amount exceeds the corresponding amount of {@code free}. */
  public boolean fitsIn(Resources free) {
    return cores <= free.cores && accelerators <= free.accelerators && memory <= free.memory;
  }

  /**
   * How many tasks of this size fit into these resources together. The result is at least 0, and is
   * {@link Integer#MAX_VALUE} if the size is {@link #NONE}.
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
