package org.ploverspindle.policy;

import java.util.List;

/** An expression of the policy language. */
sealed interface Expression {
  /** Where it begins, for messages. */
  int column();

  record Num(double value, int column) implements Expression {}

  record Name(String name, int column) implements Expression {}

  record Negate(Expression of, int column) implements Expression {}

  record Binary(String op, Expression left, Expression right, int column) implements Expression {}

  record Call(String function, List<Expression> arguments, int column) implements Expression {}

  record If(Expression condition, Expression then, Expression otherwise, int column)
      implements Expression {}
}
