Feature: The configuration commands print a result and set an exit code
  Guards against commands that end with a traceback, or with an exit code or text that does not tell an
  operator what happened and what to do next.

  Scenario Outline: Check a file
    When the command checks <file>
    Then it exits with <code>, printing "<text>" on <num_lines> lines

    Examples:
      | file              | code | text                                    | num_lines |
      | a good file       | 0    | ok: 6 engines                           | 1         |
      | a missing file    | 3    | give the path of a deployment file      | 1         |
      | a binary file     | 3    | not UTF-8 text                          | 1         |
      | a file of 2 errors | 3   | regions: missing; add `regions:`        | 2         |

  Scenario: Plan, apply, apply again, and apply an outdated file, against one store
    Given a key-value service on loopback
    When these commands run in turn
      | command                    | code | text                                         |
      | plan tsehay                | 0    | planned against revision 0                   |
      | apply tsehay               | 0    | accepted: revision 2                         |
      | apply tsehay               | 0    | was in place already: revision 2             |
      | apply startgrid            | 4    | apply with --made_from=2                     |
      | plan startgrid             | 0    | - engines qalam-1                            |
      | apply startgrid made_from=2 | 0   | accepted: revision 3                         |
      | apply tsehay made_from=2   | 4    | changed since, from revision 2               |
    Then every command exits with its code and prints its text, without a traceback

  Scenario Outline: Commands report that no service answers
    When the command <command> runs against a port where nothing listens
    Then it exits with <code>, printing "<text>" on 1 lines

    Examples:
      | command | code | text                          |
      | plan    | 6    | check the store's addresses   |
      | apply   | 4    | nothing was changed           |
      | status  | 6    | give host:port of a running node |

  Scenario Outline: Status of a fleet
    Given a node that reports <nodes>
    When the status command asks it for <wanted>
    Then it exits with <code>, printing "<text>" on <num_lines> lines

    Examples:
      | nodes            | wanted                  | code | text                             | num_lines |
      | all at 3         | the highest             | 0    | in force on 2 of 2 nodes         | 1         |
      | one at 2, then 3 | the highest             | 7    | b (z): revision 2: has not heard | 2         |
      | one at 2, then 3 | the highest, waiting    | 0    | in force on 2 of 2 nodes         | 1         |
      | one at 2, then 3 | revision 2              | 0    | in force on 2 of 2 nodes         | 1         |
      | one silent       | the highest             | 7    | b (z): unknown: no answer        | 2         |
