package org.ploverspindle.sim;

import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.state.StateStore;

/**
 * A process's way to the state service for tests of the progress writer alone: reads always
 * succeed, there are no leases, and what becomes of a transaction is for the test to say.
 */
abstract class ReadingStateClient implements StateStore {
  private static final long READ_MS = 2;

  private final SimClock clock;
  private final SimStateStore state;
  private final SimClock.Process process;

  ReadingStateClient(SimClock clock, SimStateStore state, SimClock.Process process) {
    this.clock = clock;
    this.state = state;
    this.process = process;
  }

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    clock.at(
        READ_MS, () -> process.execute(null, () -> then.accept(state.page(prefix, after, size))));
  }

  @Override
  public void readChanges(String prefix, long ledger, Consumer<ChangesResult> then) {
    clock.at(
        READ_MS,
        () -> {
          ChangesResult news = state.changesAfter(prefix, ledger);
          process.schedule(READ_MS, () -> then.accept(news));
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
