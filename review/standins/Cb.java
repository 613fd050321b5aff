import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small CBOR codec: maps keyed by text, lists, text, numbers, booleans and null. */
final class Cb {
  private Cb() {}

  static byte[] write(Object value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    put(out, value);
    return out.toByteArray();
  }

  /** Builds a map from alternating keys and values. */
  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  private static void head(ByteArrayOutputStream out, int major, long n) {
    int m = major << 5;
    if (n < 24) {
      out.write(m | (int) n);
    } else if (n < 256) {
      out.write(m | 24);
      out.write((int) n);
    } else if (n < 65536) {
      out.write(m | 25);
      out.write((int) (n >> 8));
      out.write((int) n);
    } else if (n < 1L << 32) {
      out.write(m | 26);
      out.writeBytes(ByteBuffer.allocate(4).putInt((int) n).array());
    } else {
      out.write(m | 27);
      out.writeBytes(ByteBuffer.allocate(8).putLong(n).array());
    }
  }

  private static void put(ByteArrayOutputStream out, Object v) {
    if (v == null) {
      out.write(0xf6);
    } else if (v instanceof Boolean b) {
      out.write(b ? 0xf5 : 0xf4);
    } else if (v instanceof Integer || v instanceof Long) {
      long n = ((Number) v).longValue();
      head(out, n >= 0 ? 0 : 1, n >= 0 ? n : -1 - n);
    } else if (v instanceof Double d) {
      out.write(0xfb);
      out.writeBytes(ByteBuffer.allocate(8).putDouble(d).array());
    } else if (v instanceof String s) {
      byte[] b = s.getBytes(StandardCharsets.UTF_8);
      head(out, 3, b.length);
      out.writeBytes(b);
    } else if (v instanceof List<?> l) {
      head(out, 4, l.size());
      l.forEach(e -> put(out, e));
    } else if (v instanceof Map<?, ?> m) {
      head(out, 5, m.size());
      m.forEach(
          (k, e) -> {
            put(out, k);
            put(out, e);
          });
    } else {
      throw new IllegalArgumentException("no CBOR form: " + v.getClass());
    }
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> readMap(byte[] body) {
    return (Map<String, Object>) read(ByteBuffer.wrap(body));
  }

  private static final Object BREAK = new Object();

  private static long length(ByteBuffer in, int info) {
    return switch (info) {
      case 24 -> in.get() & 0xff;
      case 25 -> in.getShort() & 0xffff;
      case 26 -> in.getInt() & 0xffffffffL;
      case 27 -> in.getLong();
      case 31 -> -1;
      default -> info;
    };
  }

  private static Object read(ByteBuffer in) {
    int first = in.get() & 0xff;
    int major = first >> 5;
    int info = first & 31;
    if (major == 7) {
      return switch (info) {
        case 20 -> false;
        case 21 -> true;
        case 22, 23 -> null;
        case 25 -> half(in.getShort());
        case 26 -> (double) in.getFloat();
        case 27 -> in.getDouble();
        case 31 -> BREAK;
        default -> throw new IllegalArgumentException("simple value " + info);
      };
    }
    long n = length(in, info);
    switch (major) {
      case 0:
        return n;
      case 1:
        return -1 - n;
      case 3:
        if (n >= 0) {
          byte[] b = new byte[(int) n];
          in.get(b);
          return new String(b, StandardCharsets.UTF_8);
        }
        StringBuilder text = new StringBuilder();
        for (Object part = read(in); part != BREAK; part = read(in)) {
          text.append(part);
        }
        return text.toString();
      case 4:
        List<Object> list = new ArrayList<>();
        for (long i = 0; n < 0 || i < n; i++) {
          Object element = read(in);
          if (element == BREAK) {
            break;
          }
          list.add(element);
        }
        return list;
      case 5:
        Map<String, Object> map = new LinkedHashMap<>();
        for (long i = 0; n < 0 || i < n; i++) {
          Object key = read(in);
          if (key == BREAK) {
            break;
          }
          map.put((String) key, read(in));
        }
        return map;
      case 6:
        return read(in);
      default:
        throw new IllegalArgumentException("major type " + major);
    }
  }

  private static double half(short bits) {
    int exponent = (bits >> 10) & 31;
    int fraction = bits & 1023;
    double value =
        exponent == 0
            ? fraction * Math.pow(2, -24)
            : exponent == 31
                ? Double.POSITIVE_INFINITY
                : (1024 + fraction) * Math.pow(2, exponent - 25);
    return bits < 0 ? -value : value;
  }

  /** The length in JSON form, in bytes. */
  static int jsonSize(Object v) {
    if (v == null) {
      return 4;
    } else if (v instanceof String s) {
      int n = 2 + s.getBytes(StandardCharsets.UTF_8).length;
      for (int i = 0; i < s.length(); i++) {
        char c = s.charAt(i);
        n += c == '"' || c == '\\' ? 1 : c < 32 ? 5 : 0;
      }
      return n;
    } else if (v instanceof List<?> l) {
      int n = 1 + Math.max(1, l.size());
      for (Object e : l) {
        n += jsonSize(e);
      }
      return n;
    } else if (v instanceof Map<?, ?> m) {
      int n = 1 + Math.max(1, m.size());
      for (Map.Entry<?, ?> e : m.entrySet()) {
        n += jsonSize(e.getKey()) + 1 + jsonSize(e.getValue());
      }
      return n;
    }
    return v.toString().length();
  }

  static long num(Map<String, Object> m, String key, long ifAbsent) {
    return m.get(key) instanceof Number n ? n.longValue() : ifAbsent;
  }

  static double real(Map<String, Object> m, String key, double ifAbsent) {
    return m.get(key) instanceof Number n ? n.doubleValue() : ifAbsent;
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> maps(Map<String, Object> m, String key) {
    return m.get(key) instanceof List<?> l ? (List<Map<String, Object>>) l : List.of();
  }
}
