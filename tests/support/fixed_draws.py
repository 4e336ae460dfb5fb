"""Fixed seeds for property tests, independent of the source of the test.

Hypothesis' `derandomize` derives the seed from the source of the test, so renaming a variable would draw
other examples. The seeds here are those derived from the first source of each test. Hypothesis also draws
constants that it finds in the modules under test; these examples may still change with the modules.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hypothesis import seed

SEEDS = {
    "no_schedule_that_hypothesis_draws_breaks_it": int(
        "5e826837709832e8ba8bc00739bca3bab9eeb199980b88e5027b20ce93f56d94f4a01e71dcca050c1510c5abb505e2a6",
        16,
    ),
    "noise_is_no_word_and_nothing_else_is_raised": int(
        "d7f9d1f2a529f5e63fc88c51ed7e0237ab7efec2cc3962ba59dcc0ea79ba969626277256833c51743f2251a1d904dbe2",
        16,
    ),
    "any_question_gets_an_answer": int(
        "6ad607ab9e11599b5d3e637e36c96489ed5b55a24de513c939118b3fbf2e592d017ad30b89eb6495592018183a284ff9",
        16,
    ),
    "whatever_editors_do_the_running_set_is_one_whole_version_in_order": int(
        "c5e2f7e8ad42276a57f806ab247ac018062d32d2a7c730140aa8277ce0ada3578eb347b1a1b7889f89a102b492cc7565",
        16,
    ),
    "a_damaged_day_is_a_day_or_an_error": int(
        "647079398c1828b9affdbfe0fb21a21f5a1554a2a0f8f8d0f313895684c04cd3e090362515bde5d20eda4e0f1df32dcc",
        16,
    ),
    "no_work_appears_or_vanishes": int(
        "31c520a87c0c5ee52569e09088d8fbb8f8f3c41bece864aa4b501544f45b555385279c86f5dfb42f6d80b20aaf524bfe",
        16,
    ),
    "whatever_happens_its_figures_stay_in_their_bounds": int(
        "eefccb3b7daa3f60c6ee3e1bf12a927d8ba088ca80e7fba6a8f02fa0bec1d30dcb4c4e47e937a15b170b61d1595e3626",
        16,
    ),
    "composed_advisors_only_narrow_in_any_number_and_order": int(
        "4882335c4dc5ecbc4a39d6e392b3b5dc48032ea75207217d8d4bd08fdb56a1cb83fae292e856ca976ad603df1e4b6faf",
        16,
    ),
    "never_more_than_its_bound_and_never_a_later_age": int(
        "6283a43a9154ee488ae112416c9c296166303b1be58ffd5482cb14e71100b49c2f2dc76ad544a28796595ec1a93d9342",
        16,
    ),
    "never_more_under_way_than_its_bound": int(
        "1d9352b857e0be7ba635e759d2694dab1226fad988abb372c680f116d38eadc6c5d6a4c24cfecded7226e63d80edab8a",
        16,
    ),
    "never_more_than_the_share_and_the_worthier_first": int(
        "192e770f07a908a0b513920512c4c2de4d7252b76ccb006b2df86ccdcd93b335b85f9024440446b4c8655ddb6ea3e915",
        16,
    ),
    "in_any_stretch_no_worthier_one_is_refused_while_a_less_worthy_one_is_taken": int(
        "00230348043e7572ff09c9ab2d17292ad7e1cbf4713029dd1c70b6e2119385113aa76aa7901304c080a342c74ca15308",
        16,
    ),
    "what_is_written_is_read_back": int(
        "ec4254f4767fc104676958aa7f58f7018bd7dfe15690693ea34df76f204c144942655747ad93f233a14d5cf22e77c35e",
        16,
    ),
    "every_record_fits_a_datagram": int(
        "1382b165d01d3eeca7e7555c76a6d682495674d8098eabdd773dce209c44cc8901ab2f4c1a23049382462ef8e39f064d",
        16,
    ),
    "noise_is_turned_away": int(
        "e6aecf80b874cfc4975f9f932f86785ae1bd86964d233685c668e3c0060f41e4a496406da824520e3a1eaa5384537ab0",
        16,
    ),
    "noise_with_a_valid_mac_ends_in_records_or_one_error": int(
        "293b6e3cbfe06862ebdb169c13f5070cc964598f0e731f1d30a4514eef8169634d295054fd004f2018a9293ef022bb0e",
        16,
    ),
    "one_flipped_bit_or_a_cut_is_turned_away": int(
        "2293cd80c0839f92e9f4640a347e35b85863ff2960fc1e6264cfc755068d0e8848d1306893d83e9929520e9d5bb9c205",
        16,
    ),
    "whatever_happens_somebody_may_be_asked_and_limits_hold": int(
        "97350e383a7facb8b1500118e4ff96f7822244b8b692d7b28c2e3f2a0b4ae23ea19dcf8f28f4ae45fb0cae6c471a4dc2",
        16,
    ),
    "whatever_a_client_sends": int(
        "006e6459652abdd700927e2c2b18f615a4fcef72da28ee1da1d4e0879c152b16e0e09d043ce1a4e42fa6728584e06aba",
        16,
    ),
    "whatever_a_host_answers": int(
        "bd92ffed95873943e59ea75c1b6b162c7b807a6b06441bcaae97bf076bcf1ced65b81f5beb6c41b6f2181aa1ece1a0d0",
        16,
    ),
    "the_bounds_hold_as_counts_over_any_course": int(
        "5a9381fe1e12961e6c34cbc6f0d481da31dab1883a686e97cac0be09ae9dcb02875ac843d44b789825d20b82bf1ab7f9",
        16,
    ),
}


def fixed_draws(name: str) -> Callable[[Any], Any]:
    """Returns a decorator that gives a property test the fixed seed stored under `name`.

    The name is a key of `SEEDS` and stays when the test is renamed. Raises KeyError for an unknown name."""
    return seed(SEEDS[name])
