package org.ploverspindle.net;

import java.util.function.Consumer;

/** Sends requests to one target; replies arrive on the decision loop. */
public interface Caller {
  /** {@code body} may be empty: then none is sent. */
  void call(String method, String path, byte[] body, long timeoutMs, Consumer<Reply> then);
}
