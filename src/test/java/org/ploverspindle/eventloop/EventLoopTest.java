package org.ploverspindle.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class EventLoopTest {
  /**
   * Guards against heartbeats that wait behind other work, which would let worker leases expire,
   * and against submissions that wait behind queries. The work is queued in random order before the
   * loop starts.
   */
  @Test
  void waitingWorkRunsInOrderOfPriority() throws InterruptedException {
    List<EventPriority> executed = new ArrayList<>();
    CountDownLatch allExecuted = new CountDownLatch(400);
    Random random = new Random(1);
    try (EventLoop loop = new EventLoop()) {
      for (int i = 0; i < 400; i++) {
        EventPriority priority =
            EventPriority.values()[random.nextInt(EventPriority.values().length)];
        loop.execute(
            priority,
            () -> {
              executed.add(priority);
              allExecuted.countDown();
            });
      }
      loop.start();
      assertTrue(allExecuted.await(30, TimeUnit.SECONDS));
    }
    List<EventPriority> sorted = new ArrayList<>(executed);
    sorted.sort(null);
    assertEquals(sorted, executed);
  }

  /** Guards against a loop that ends on an error while nobody is told, as when the heap is full. */
  @Test
  void errorEndsTheLoopAndIsPassedToTheHandler() throws InterruptedException {
    CompletableFuture<Error> handled = new CompletableFuture<>();
    AtomicBoolean ranAfterError = new AtomicBoolean();
    Error error = new OutOfMemoryError("thrown by the test");
    try (EventLoop loop = new EventLoop(handled::complete)) {
      loop.execute(
          EventPriority.DECISION,
          () -> {
            throw new IllegalStateException("thrown by the test; the loop continues");
          });
      loop.execute(
          EventPriority.DECISION,
          () -> {
            throw error;
          });
      loop.execute(EventPriority.DECISION, () -> ranAfterError.set(true));
      loop.start();
      assertSame(error, handled.orTimeout(30, TimeUnit.SECONDS).join());
    }
    assertFalse(ranAfterError.get(), "work ran after an error");
  }
}
