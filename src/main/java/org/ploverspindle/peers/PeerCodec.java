package org.ploverspindle.peers;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Records between controllers: a length, a version, a kind, and the fields. A record of another
 * version or kind is passed over, so that versions can be mixed while controllers are restarted one
 * after the other; a length that no record has ends the connection.
 */
public final class PeerCodec {
  public static final int MAX_LENGTH = 1024;
  private static final int VERSION = 1;
  private static final int USUAL_BYTES = 64;
  private static final int LEADING = 1;
  private static final int RESIGNED = 2;
  private static final int NEWS = 3;
  private static final int STRAYS = 4;
  private static final int ASKING = 5;
  private static final int REACHED = 6;

  private PeerCodec() {}

  /** The bytes on a connection are not of this format. */
  public static final class Broken extends Exception {
    private static final long serialVersionUID = 1L;

    Broken(String message) {
      super(message);
    }
  }

  /** The record as a frame: its length, then its body. */
  public static byte[] encode(PeerMessage record) {
    ByteArrayOutputStream body = new ByteArrayOutputStream(USUAL_BYTES);
    ByteArrayOutputStream framed = new ByteArrayOutputStream(USUAL_BYTES);
    try {
      DataOutputStream out = new DataOutputStream(body);
      out.writeByte(VERSION);
      out.writeByte(kind(record));
      out.writeUTF(record.member());
      if (record instanceof PeerMessage.Leading leading) {
        out.writeLong(leading.token());
      } else if (record instanceof PeerMessage.Resigned resigned) {
        out.writeLong(resigned.token());
      } else if (record instanceof PeerMessage.MisdirectedHeartbeats strays) {
        out.writeInt(strays.count());
      }
      DataOutputStream frame = new DataOutputStream(framed);
      frame.writeInt(body.size());
      body.writeTo(frame);
    } catch (IOException e) {
      throw new UncheckedIOException("memory could not be written", e);
    }
    return framed.toByteArray();
  }

  private static int kind(PeerMessage record) {
    if (record instanceof PeerMessage.Leading) {
      return LEADING;
    }
    if (record instanceof PeerMessage.MisdirectedHeartbeats) {
      return STRAYS;
    }
    if (record instanceof PeerMessage.ReachabilityProbe) {
      return ASKING;
    }
    if (record instanceof PeerMessage.ReachabilityReply) {
      return REACHED;
    }
    return record instanceof PeerMessage.Resigned ? RESIGNED : NEWS;
  }

  /** The length of the next whole frame's body, or -1 while it is not all there. */
  static int wholeFrame(ByteBuffer received) throws Broken {
    if (received.remaining() < Integer.BYTES) {
      return -1;
    }
    int length = received.getInt(received.position());
    if (length < 2 || length > MAX_LENGTH) {
      throw new Broken("a record of " + length + " bytes");
    }
    return received.remaining() < Integer.BYTES + length ? -1 : length;
  }

  /** Takes a whole frame; empty for a version or kind that is not known here. */
  static Optional<PeerMessage> take(ByteBuffer received, int length) throws Broken {
    received.getInt();
    byte[] body = new byte[length];
    received.get(body);
    try {
      DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
      if (in.readUnsignedByte() != VERSION) {
        return Optional.empty();
      }
      int kind = in.readUnsignedByte();
      return switch (kind) {
        case LEADING -> Optional.of(new PeerMessage.Leading(in.readUTF(), in.readLong()));
        case RESIGNED -> Optional.of(new PeerMessage.Resigned(in.readUTF(), in.readLong()));
        case NEWS -> Optional.of(new PeerMessage.StateChanged(in.readUTF()));
        case STRAYS ->
            Optional.of(new PeerMessage.MisdirectedHeartbeats(in.readUTF(), in.readInt()));
        case ASKING -> Optional.of(new PeerMessage.ReachabilityProbe(in.readUTF()));
        case REACHED -> Optional.of(new PeerMessage.ReachabilityReply(in.readUTF()));
        default -> Optional.empty();
      };
    } catch (IOException e) {
      throw new Broken("a record that ends too early");
    }
  }
}
