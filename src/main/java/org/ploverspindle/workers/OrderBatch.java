package org.ploverspindle.workers;

import java.util.ArrayList;
import java.util.List;

/**
 * Orders that go out together, no more than a worker takes at once. What does not fit is ordered
 * with a later answer.
 */
final class OrderBatch {
  /** Before the first order: the token and the frame around the list. */
  private static final int FRAME_BYTES = 40;

  private final List<Order> orders = new ArrayList<>();
  private int bytes = FRAME_BYTES;

  /** Adds the order if it fits; false if it does not. */
  boolean add(Order order) {
    int size = ReportCodec.size(order);
    if (bytes + size > ReportCodec.MAX_ORDER_BYTES) {
      return false;
    }
    bytes += size;
    orders.add(order);
    return true;
  }

  List<Order> orders() {
    return orders;
  }
}
