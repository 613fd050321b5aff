/** The steady clock, in milliseconds since the start of the run. */
final class Clock {
  private static final long START = System.nanoTime();

  private Clock() {}

  static long ms() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void sleepUntil(long ms) {
    sleep(ms - ms());
  }
}
