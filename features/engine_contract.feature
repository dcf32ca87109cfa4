Feature: Contract of the engine port, in process and over HTTP
  Guards against adapters that report a failure as another kind than it was, or a request as not run
  although the engine ran it, and against in-process and HTTP engines that behave differently.

  Scenario Outline: A failed call is reported as its kind, consistently with what the engine ran
    Given an engine behind the "<port>" engine port with the condition "<condition>"
    When a request for 8 tokens is sent to the engine
    Then the engine port gives <chunks> chunks and then "<outcome>"
    And the engine's ledger shows <runs> new runs

    Examples: In process
      | port       | condition              | chunks | outcome          | runs |
      | in-process | none                   | 8      | finished         | 1    |
      | in-process | refuse_connections     | 0      | unreachable      | 0    |
      | in-process | crashed                | 0      | unreachable      | 0    |
      | in-process | refuse_busy            | 0      | refused_busy     | 0    |
      | in-process | full queue             | 0      | refused_busy     | 0    |
      | in-process | other incarnation      | 0      | refused_mismatch | 0    |
      | in-process | other version          | 0      | refused_mismatch | 0    |
      | in-process | other model            | 0      | refused_mismatch | 0    |
      | in-process | missing adapter        | 0      | refused_mismatch | 0    |
      | in-process | leaving                | 0      | refused_leaving  | 0    |
      | in-process | refuse_invalid         | 0      | refused_invalid  | 0    |
      | in-process | too large              | 0      | refused_invalid  | 0    |
      | in-process | sent before            | 0      | refused_invalid  | 0    |
      | in-process | is_stalled             | 0      | timed_out        | 0    |
      | in-process | cut_before_chunk=0     | 0      | broken           | 1    |
      | in-process | cut_before_chunk=3     | 3      | broken           | 1    |
      | in-process | cut_before_chunk=7     | 7      | broken           | 1    |
      | in-process | end_before_chunk=3     | 3      | broken           | 1    |
      | in-process | garble_chunk=3         | 3      | corrupt          | 1    |

    Examples: Over HTTP
      | port | condition              | chunks | outcome          | runs |
      | HTTP | none                   | 8      | finished         | 1    |
      | HTTP | refuse_connections     | 0      | unreachable      | 0    |
      | HTTP | crashed                | 0      | unreachable      | 0    |
      | HTTP | refuse_busy            | 0      | refused_busy     | 0    |
      | HTTP | full queue             | 0      | refused_busy     | 0    |
      | HTTP | other incarnation      | 0      | refused_mismatch | 0    |
      | HTTP | other version          | 0      | refused_mismatch | 0    |
      | HTTP | other model            | 0      | refused_mismatch | 0    |
      | HTTP | missing adapter        | 0      | refused_mismatch | 0    |
      | HTTP | leaving                | 0      | refused_leaving  | 0    |
      | HTTP | refuse_invalid         | 0      | refused_invalid  | 0    |
      | HTTP | too large              | 0      | refused_invalid  | 0    |
      | HTTP | sent before            | 0      | refused_invalid  | 0    |
      | HTTP | is_stalled             | 0      | timed_out        | 0    |
      | HTTP | cut_before_chunk=0     | 0      | broken           | 1    |
      | HTTP | cut_before_chunk=3     | 3      | broken           | 1    |
      | HTTP | cut_before_chunk=7     | 7      | broken           | 1    |
      | HTTP | end_before_chunk=3     | 3      | broken           | 1    |
      | HTTP | garble_chunk=3         | 3      | corrupt          | 1    |

  Scenario Outline: Wrong chunks are passed on unchanged, for the caller to check
    Given an engine behind the "<port>" engine port with the condition "<condition>"
    When a request for 4 tokens is sent to the engine
    Then the engine port gives the chunks "<chunks>"

    Examples:
      | port       | condition             | chunks            |
      | in-process | skip_chunk=1          | 0 2 3             |
      | in-process | duplicate_chunk=1     | 0 1 1 2 3         |
      | in-process | swap_chunk=1          | 0 2 1 3           |
      | in-process | cross_chunk=1         | 0 1! 2 3          |
      | in-process | wrong_request_id      | 0! 1! 2! 3!       |
      | HTTP       | skip_chunk=1          | 0 2 3             |
      | HTTP       | duplicate_chunk=1     | 0 1 1 2 3         |
      | HTTP       | swap_chunk=1          | 0 2 1 3           |
      | HTTP       | cross_chunk=1         | 0 1! 2 3          |
      | HTTP       | wrong_request_id      | 0! 1! 2! 3!       |

  Scenario Outline: The other engine calls give the same answers through both ports
    Given an engine behind the "<port>" engine port with the condition "none"
    When every other call of the engine port is made
    Then resuming gives the rest of the answer and an unknown attempt is not found
    And continuing on another engine completes the answer
    And cancelling a known request is accepted and an unknown one is not found
    And orders below the last token are refused and identical repeats accepted
    And the cache events lead to the blocks of the dump
    And events of another incarnation or beyond the window are not found

    Examples:
      | port       |
      | in-process |
      | HTTP       |
