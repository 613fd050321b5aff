package org.ploverspindle.sim;

import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.state.StateStore;

/**
 * A client of the simulated state service for tests of the progress writer alone. Reads always
 * succeed, there are no leases, and each test defines the outcome of transactions.
 */
abstract class StubStateStore implements StateStore {
  private static final long READ_DELAY_MS = 2;

  private final SimClock clock;
  private final SimStateStore state;
  private final SimClock.Process process;

  StubStateStore(SimClock clock, SimStateStore state, SimClock.Process process) {
    this.clock = clock;
    this.state = state;
    this.process = process;
  }

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    clock.after(
        READ_DELAY_MS,
        () -> process.execute(null, () -> then.accept(state.readPage(prefix, after, size))));
  }

  @Override
  public void readChanges(String prefix, long revision, Consumer<ChangesResult> then) {
    clock.after(
        READ_DELAY_MS,
        () -> {
          ChangesResult changes = state.readChanges(prefix, revision);
          process.schedule(READ_DELAY_MS, () -> then.accept(changes));
        });
  }

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
    then.accept(Optional.empty());
  }

  @Override
  public void renewLease(long lease, Consumer<Renewal> then) {
    then.accept(Renewal.FAILED);
  }

  @Override
  public void closeLease(long lease) {}
}
