package org.ploverspindle.policy;

import java.util.List;

/** An expression of the policy language. */
sealed interface Expression {
  /** The column of its first character, counted from 1, for messages. */
  int column();

  /** A literal number. */
  record NumberLiteral(double value, int column) implements Expression {}

  /** A named amount of the settings. */
  record Name(String name, int column) implements Expression {}

  /** The negative of an amount. */
  record Negation(Expression operand, int column) implements Expression {}

  /** An arithmetic operation or a comparison. */
  record Binary(String operator, Expression left, Expression right, int column)
      implements Expression {}

  /** A call of a function, with at least one argument. */
  record Call(String function, List<Expression> arguments, int column) implements Expression {}

  /** One of two amounts, by a comparison. */
  record If(Expression condition, Expression then, Expression otherwise, int column)
      implements Expression {}
}
