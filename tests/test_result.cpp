// Tests of the table of result codes.
#include "result_func.h"

#include "json_func.h"

using namespace fulmar;

SCENARIO("the table of result codes is consistent") {
  GIVEN("the table") {
    THEN("numbers ascend, and each belongs to a family") {
      int Last = 0;
      for (const ResultInfo &Row : resultTable()) {
        CHECK(resultNumber(Row.Code) > Last);
        Last = resultNumber(Row.Code);
        CHECK(Last / 1000 >= 1);
        CHECK(Last / 1000 < static_cast<int>(ResultFamily::Count));
      }
    }
    THEN("the documentation page matches the table") {
      CHECK(readFile(SOURCE_DIR "/docs/RESULT_CODES.md") ==
            resultTableMarkdown());
    }
  }
}
