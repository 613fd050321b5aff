package org.ploverspindle.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/** Writes the body of a request as fast as the target reads it, without blocking the I/O thread. */
final class RequestBodyWriter {
  private final ByteBuffer remaining;
  private final Consumer<IOException> onFailure;

  RequestBodyWriter(byte[] body, Consumer<IOException> onFailure) {
    this.remaining = ByteBuffer.wrap(body);
    this.onFailure = onFailure;
  }

  /** Writes what can be written without blocking, and the rest whenever the channel is writable. */
  void writeTo(StreamSinkChannel channel) {
    channel.getWriteSetter().set(this::write);
    write(channel);
  }

  private void write(StreamSinkChannel channel) {
    try {
      while (remaining.hasRemaining()) {
        if (channel.write(remaining) == 0) {
          channel.resumeWrites();
          return;
        }
      }
      channel.shutdownWrites();
      if (!channel.flush()) {
        channel
            .getWriteSetter()
            .set(
                ChannelListeners.flushingChannelListener(
                    null, (failed, cause) -> onFailure.accept(cause)));
        channel.resumeWrites();
      }
    } catch (IOException e) {
      onFailure.accept(e);
    }
  }
}
