package org.ploverspindle.model;

/** Amounts in thousandths, so that sums neither drift nor depend on their order. */
public record Resources(long cores, long accelerators, long memory) {
  public static final Resources NONE = new Resources(0, 0, 0);

  /** What a task takes: rounded up, so that it is never thought smaller than it is. */
  public static Resources needed(double cores, double accelerators, double memoryGb) {
    return new Resources(up(cores), up(accelerators), up(memoryGb));
  }

  /** What a machine offers: rounded down. */
  public static Resources offered(double cores, double accelerators, double memoryGb) {
    return new Resources(down(cores), down(accelerators), down(memoryGb));
  }

  private static long up(double amount) {
    return (long) Math.ceil(amount * 1000 - 1e-6);
  }

  private static long down(double amount) {
    return (long) Math.floor(amount * 1000 + 1e-6);
  }

  public Resources plus(Resources o) {
    return new Resources(cores + o.cores, accelerators + o.accelerators, memory + o.memory);
  }

  public Resources minus(Resources o) {
    return new Resources(cores - o.cores, accelerators - o.accelerators, memory - o.memory);
  }

  public boolean fitsIn(Resources room) {
    return cores <= room.cores && accelerators <= room.accelerators && memory <= room.memory;
  }

  /** How many of {@code piece} fit in here. */
  public int times(Resources piece) {
    long n = Integer.MAX_VALUE;
    if (piece.cores > 0) {
      n = Math.min(n, cores / piece.cores);
    }
    if (piece.accelerators > 0) {
      n = Math.min(n, accelerators / piece.accelerators);
    }
    if (piece.memory > 0) {
      n = Math.min(n, memory / piece.memory);
    }
    return (int) Math.max(0, n);
  }
}
