package org.ploverspindle.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/** Collects a response's body as it arrives, up to a limit. */
final class ResponseBody {
  /** Larger responses count as failed, so that a faulty target can't fill the heap. */
  static final int MAX_BYTES = 8 << 20;

  private static final int INITIAL_CAPACITY_BYTES = 256;
  private static final int READ_BUFFER_BYTES = 4_096;

  /** What a read led to. */
  enum Progress {
    /** Nothing more can be read now. */
    INCOMPLETE,
    COMPLETE,
    TOO_LARGE
  }

  private final ByteArrayOutputStream received = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);

  /** Reads all that can be read without waiting. */
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
