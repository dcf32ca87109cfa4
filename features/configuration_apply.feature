Feature: Applying a file reports what the store holds and is safe to retry
  Guards against an operator who is told that a file was refused although the store holds it, or the
  reverse, when answers of the store are lost, late or overtaken by other writers.

  Scenario Outline: One operator applies a file
    Given a store that <store>
    When an operator applies the file "b" made from <base>
    Then the answer is "<answer>" and the store holds "<held>"

    Examples:
      | store                                             | base       | answer               | held |
      | is empty                                          | nothing    | accepted at 2        | b    |
      | is empty                                          | revision 7 | refused, current 0   | -    |
      | holds a                                           | nothing    | refused, current 2   | a    |
      | holds a                                           | revision 2 | accepted at 3        | b    |
      | holds b                                           | nothing    | in place at 2        | b    |
      | holds a, then c                                   | revision 2 | refused, current 3   | c    |
      | holds foreign bytes                               | revision 2 | refused, unreadable  | ?    |
      | is empty and loses 3 answers                      | nothing    | accepted at 2        | b    |
      | holds a and loses 3 answers                       | revision 2 | accepted at 3        | b    |
      | holds a and is down for 20 s                      | revision 2 | accepted at 3        | b    |
      | holds a and is down for hours                     | revision 2 | refused, unreachable | a    |
      | holds a and takes 2 s for a call                  | revision 2 | accepted at 3        | b    |
      | holds a and takes 5 s for a call                  | revision 2 | refused, unreachable | a    |
      | holds a and allows one call in 4 s                | revision 2 | accepted at 3        | b    |
      | holds a, loses the answer, is overtaken by c      | revision 2 | accepted at 3        | c    |
      | holds a, loses the answer, then is down for hours | revision 2 | unknown              | b    |
      | holds a, loses the answer, is overtaken 20 times  | revision 2 | unknown              | c    |

  Scenario Outline: An interrupted command is run again
    Given an apply of "b" on a store that holds "a" is killed <moment>
    When the same command is run again
    Then it answers accepted, the store holds "b", and it was written once

    Examples:
      | moment               |
      | before the swap      |
      | after the swap       |

  Scenario Outline: Operators race with different files made from the same revision
    When <operators> operators race with different files from one revision under <fault>, for seeds 1 to 20
    Then in every race one file is accepted, and all others are refused with the accepted change

    Examples:
      | operators | fault                   |
      | 2         | no fault                |
      | 8         | no fault                |
      | 2         | half of answers lost    |
      | 8         | half of answers lost    |
      | 8         | outages                 |
