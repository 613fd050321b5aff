package org.ploverspindle.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses one line of a policy by recursive descent:
 *
 * <pre>
 * expr    = "if" expr "then" expr "else" expr | sum [ ("&lt;" | "&lt;=" | "&gt;" | "&gt;=" | "==") sum ]
 * sum     = product { ("+" | "-") product }
 * product = unary { ("*" | "/") unary }
 * unary   = "-" unary | number | name | name "(" expr { "," expr } ")" | "(" expr ")"
 * </pre>
 */
final class Parser {
  private static final Pattern TOKEN =
      Pattern.compile(
          "\\s*(?:(\\d+(?:\\.\\d+)?)|([A-Za-z_][A-Za-z0-9_]*)|\"([^\"]*)\"|(<=|>=|==|[-+*/()<>,=]))");

  /** Groups of the pattern above. */
  private static final int NUMBER_GROUP = 1;

  private static final int WORD_GROUP = 2;
  private static final int QUOTED_GROUP = 3;

  /** Bounds the recursion: a line of ten thousand parentheses must not overflow the stack. */
  private static final int MAX_DEPTH = 50;

  private enum Kind {
    NUMBER,
    WORD,
    QUOTED,
    SIGN,
    END
  }

  private record Token(Kind kind, String text, int column) {}

  private final List<Token> tokens;
  private int next;
  private int depth;

  Parser(String line) throws PolicyException {
    tokens = scan(line);
  }

  private static List<Token> scan(String line) throws PolicyException {
    List<Token> tokens = new ArrayList<>();
    Matcher m = TOKEN.matcher(line);
    int at = 0;
    while (at < line.length() && !line.substring(at).isBlank()) {
      if (!m.find(at) || m.start() != at) {
        throw new PolicyException(at + 1, "unexpected \"" + line.substring(at).strip() + "\"");
      }
      Kind kind =
          m.group(NUMBER_GROUP) != null
              ? Kind.NUMBER
              : m.group(WORD_GROUP) != null
                  ? Kind.WORD
                  : m.group(QUOTED_GROUP) != null ? Kind.QUOTED : Kind.SIGN;
      int group = kind.ordinal() + 1;
      tokens.add(new Token(kind, m.group(group), m.start(group) + 1));
      at = m.end();
    }
    tokens.add(new Token(Kind.END, "the end of the line", line.length() + 1));
    return tokens;
  }

  private Token peek() {
    return tokens.get(next);
  }

  private Token take() {
    Token t = peek();
    if (t.kind() != Kind.END) {
      next++;
    }
    return t;
  }

  private boolean takeIf(String text) {
    Token t = peek();
    if ((t.kind() == Kind.SIGN || t.kind() == Kind.WORD) && t.text().equals(text)) {
      next++;
      return true;
    }
    return false;
  }

  private void expect(String text) throws PolicyException {
    if (!takeIf(text)) {
      throw new PolicyException(
          peek().column(), "expected \"" + text + "\" and found " + peek().text());
    }
  }

  /** The left side: a setting's name, or {@code pool "TYPE" min}. */
  String target() throws PolicyException {
    Token t = take();
    if (t.kind() != Kind.WORD) {
      throw new PolicyException(t.column(), "a line must begin with a setting's name");
    }
    String target = t.text();
    if (target.equals("pool")) {
      Token type = take();
      Token bound = take();
      if (type.kind() != Kind.QUOTED
          || !bound.text().equals("min") && !bound.text().equals("max")) {
        throw new PolicyException(t.column(), "expected: pool \"TYPE\" min or max");
      }
      target = "pool/" + type.text() + "/" + bound.text();
    }
    expect("=");
    return target;
  }

  Expression whole() throws PolicyException {
    Expression e = expr();
    if (peek().kind() != Kind.END) {
      throw new PolicyException(peek().column(), "unexpected " + peek().text());
    }
    return e;
  }

  private Expression expr() throws PolicyException {
    if (++depth > MAX_DEPTH) {
      throw new PolicyException(peek().column(), "nested too deeply");
    }
    try {
      int column = peek().column();
      if (takeIf("if")) {
        Expression condition = expr();
        expect("then");
        Expression then = expr();
        expect("else");
        return new Expression.If(condition, then, expr(), column);
      }
      Expression left = sum();
      for (String op : List.of("<=", ">=", "==", "<", ">")) {
        if (takeIf(op)) {
          return new Expression.Binary(op, left, sum(), column);
        }
      }
      return left;
    } finally {
      depth--;
    }
  }

  private Expression sum() throws PolicyException {
    Expression left = product();
    while (true) {
      int column = peek().column();
      if (takeIf("+")) {
        left = new Expression.Binary("+", left, product(), column);
      } else if (takeIf("-")) {
        left = new Expression.Binary("-", left, product(), column);
      } else {
        return left;
      }
    }
  }

  private Expression product() throws PolicyException {
    Expression left = unary();
    while (true) {
      int column = peek().column();
      if (takeIf("*")) {
        left = new Expression.Binary("*", left, unary(), column);
      } else if (takeIf("/")) {
        left = new Expression.Binary("/", left, unary(), column);
      } else {
        return left;
      }
    }
  }

  private Expression unary() throws PolicyException {
    Token t = take();
    if (t.kind() == Kind.NUMBER) {
      return new Expression.Num(Double.parseDouble(t.text()), t.column());
    }
    if (t.kind() == Kind.SIGN && t.text().equals("-")) {
      if (++depth > MAX_DEPTH) {
        throw new PolicyException(t.column(), "nested too deeply");
      }
      Expression of = unary();
      depth--;
      return new Expression.Negate(of, t.column());
    }
    if (t.kind() == Kind.SIGN && t.text().equals("(")) {
      Expression inner = expr();
      expect(")");
      return inner;
    }
    if (t.kind() != Kind.WORD) {
      throw new PolicyException(t.column(), "expected a value and found " + t.text());
    }
    if (!takeIf("(")) {
      return new Expression.Name(t.text(), t.column());
    }
    List<Expression> arguments = new ArrayList<>();
    do {
      arguments.add(expr());
    } while (takeIf(","));
    expect(")");
    return new Expression.Call(t.text(), arguments, t.column());
  }
}
