package org.ploverspindle.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against messages that are lost, reordered or misread when TCP splits frames, when
 * controllers of different versions exchange messages, and when bytes arrive that are not frames.
 */
class PeerCodecTest {
  private static final List<PeerMessage> ALL_KINDS =
      List.of(
          new PeerMessage.Leading("n-1", 1L << 40),
          new PeerMessage.Resigned("n-2", 7),
          new PeerMessage.StateChanged("a controller with a long name"),
          new PeerMessage.MisdirectedHeartbeats("n-3", 1_119),
          new PeerMessage.ReachabilityProbe("n-4"),
          new PeerMessage.ReachabilityReply("n-5"),
          new PeerMessage.Heartbeat("n-6", true));

  /**
   * TCP may deliver a frame in several segments of any size, which must not change the messages.
   */
  @Test
  void messagesSplitAtAnyByteAreDecodedInOrder() throws PeerCodec.MalformedFrameException {
    Random random = new Random(1);
    List<PeerMessage> sent = new ArrayList<>();
    List<PeerMessage> decoded = new ArrayList<>();
    ByteBuffer received = ByteBuffer.allocate(2 * PeerCodec.MAX_BODY_BYTES);
    for (int i = 0; i < 500; i++) {
      PeerMessage message = ALL_KINDS.get(random.nextInt(ALL_KINDS.size()));
      sent.add(message);
      byte[] frame = PeerCodec.encode(message);
      for (int from = 0; from < frame.length; ) {
        int count = Math.min(frame.length - from, 1 + random.nextInt(20));
        received.put(frame, from, count);
        from += count;
        received.flip();
        for (int length = PeerCodec.nextBodyLength(received);
            length >= 0;
            length = PeerCodec.nextBodyLength(received)) {
          PeerCodec.decodeNext(received, length).ifPresent(decoded::add);
        }
        received.compact();
      }
    }
    assertEquals(sent, decoded);
  }

  @Test
  void unknownVersionOrKindIsSkipped() throws PeerCodec.MalformedFrameException {
    byte[] frame = PeerCodec.encode(ALL_KINDS.get(0));
    frame[4] = 99;
    ByteBuffer received = ByteBuffer.wrap(frame);
    assertEquals(
        Optional.empty(),
        PeerCodec.decodeNext(received, PeerCodec.nextBodyLength(received)),
        "version");
    frame = PeerCodec.encode(ALL_KINDS.get(0));
    frame[5] = 99;
    ByteBuffer kind = ByteBuffer.wrap(frame);
    assertEquals(
        Optional.empty(), PeerCodec.decodeNext(kind, PeerCodec.nextBodyLength(kind)), "kind");
    assertTrue(!kind.hasRemaining());
  }

  @Test
  void invalidLengthOrTruncatedBodyIsRejected() {
    ByteBuffer http = ByteBuffer.wrap("GET / HTTP/1.1\r\n\r\n".getBytes());
    assertThrows(PeerCodec.MalformedFrameException.class, () -> PeerCodec.nextBodyLength(http));
    byte[] frame = PeerCodec.encode(ALL_KINDS.get(0));
    frame[7] = (byte) 200;
    assertThrows(
        PeerCodec.MalformedFrameException.class,
        () -> {
          ByteBuffer received = ByteBuffer.wrap(frame);
          PeerCodec.decodeNext(received, PeerCodec.nextBodyLength(received));
        });
  }
}
