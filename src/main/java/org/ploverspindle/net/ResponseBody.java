package org.ploverspindle.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/** Collects the body of a response as it arrives, up to a limit. */
final class ResponseBody {
  /**
   * Limit of a body in bytes. Larger ones count as failed: a faulty target must not fill the heap.
   */
  static final int MAX_BYTES = 8 << 20;

  private static final int INITIAL_CAPACITY_BYTES = 256;
  private static final int READ_BUFFER_BYTES = 4_096;

  /** How far the body has been received. */
  enum Progress {
    /** All bytes that have arrived were read, and more will follow. */
    INCOMPLETE,
    /** The whole body was read. */
    COMPLETE,
    /** The body is larger than {@link #MAX_BYTES}; the rest is not read. */
    TOO_LARGE
  }

  private final ByteArrayOutputStream received = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);

  /** Reads all bytes that have arrived, without blocking. */
  Progress readFrom(StreamSourceChannel channel) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    while (received.size() <= MAX_BYTES) {
      buffer.clear();
      int count = channel.read(buffer);
      if (count == 0) {
        return Progress.INCOMPLETE;
      }
      if (count < 0) {
        return Progress.COMPLETE;
      }
      received.write(buffer.array(), 0, count);
    }
    return Progress.TOO_LARGE;
  }

  byte[] toByteArray() {
    return received.toByteArray();
  }
}
