Feature: Numbers that callers and back ends state harm nobody else, whatever they are

  # Guards against a caller whose numbers harm the requests of others: a prompt of 10^400 tokens was added to
  # its engine's load, and each cost of that engine computed from it raised an error for whoever asked.
  Scenario Outline: A caller states absurd numbers of tokens: <tokens>, <parts>
    Given a node with an engine
    When a caller states the tokens <tokens> and the parts <parts>, and others ask meanwhile
    Then the others are answered

    Examples:
      | tokens       | parts        |
      | 400 digits,9 | aa:800       |
      | 9,400 digits | aa:800       |
      | 1000,9       | aa:400 digits |
      | -1000000,9   | aa:-1000000  |

  # Guards against a back end whose headers use up the connections to it: a value that looks like a number to
  # one function and not to the next one raised an error between the head and the body of the answer, and
  # nothing gave the connection back.
  Scenario: Whatever the headers of an answer say, its request ends and its connection is given back
    When back ends answer with any values of the headers that the gateway reads
    Then each answer is read or rejected, and each connection is given back
