package org.ploverspindle.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.eventloop.EventPriority;

/**
 * A process with the event loop of a controller, whose heap is filled by work on the loop, and with
 * another thread that never ends, as the I/O thread.
 */
final class FailingController {
  private static final int BLOCK_BYTES = 1 << 20;

  private FailingController() {}

  public static void main(String[] args) {
    new Thread(FailingController::waitForever, "io").start();
    EventLoop loop = ControllerProcess.newEventLoop();
    loop.start();
    loop.execute(EventPriority.DECISION, FailingController::fillHeap);
  }

  private static void waitForever() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void fillHeap() {
    List<byte[]> blocks = new ArrayList<>();
    while (true) {
      blocks.add(new byte[BLOCK_BYTES]);
    }
  }
}
