#include "coltsfoot/placing/interference_model.h"

#include <gtest/gtest.h>

#include "coltsfoot/base/random.h"

namespace coltsfoot::jobs {
namespace {

// Reports of workers on which serving image "search" runs beside some of the filling images. The
// tails swing with the load and are reported roughly.
void report(interference_model& model, random_engine& random, double harm_of_a, double harm_of_b) {
  std::uniform_real_distribution<double> share{0, 0.15};
  std::uniform_real_distribution<double> noise{0.8, 1.2};
  const double a = share(random);
  const double b = share(random);
  const double headroom = (2.6 - harm_of_a * a - harm_of_b * b) * noise(random);
  model.observe("search", headroom, {{"a", a}, {"b", b}});
}

TEST(interference_model_test, tells_a_harmful_image_from_a_harmless_one) {
  interference_model model{{}};
  random_engine random{1};
  for (int i = 0; i < 1'500; ++i) report(model, random, 8, 0.3);
  EXPECT_GT(model.loss("search", "a", 1), 4);
  EXPECT_LT(model.loss("search", "b", 1), 2.5);
}

TEST(interference_model_test, learns_each_pair_of_images_for_itself) {
  interference_model model{{}};
  random_engine random{2};
  for (int i = 0; i < 1'500; ++i) report(model, random, 8, 0.3);
  const double seen = model.loss("search", "a", 1);
  EXPECT_DOUBLE_EQ(model.loss("other", "a", 1), seen) << "expected of an image that was not seen";
  EXPECT_DOUBLE_EQ(model.loss("search", "c", 1), interference_options{}.first_weight);
  for (int i = 0; i < 200; ++i) model.observe("other", 2.5, {{"a", 0.1}});
  EXPECT_LT(model.loss("other", "a", 1), 1.5);
  EXPECT_DOUBLE_EQ(model.loss("search", "a", 1), seen);
}

TEST(interference_model_test, follows_an_image_that_changes) {
  interference_model model{{}};
  random_engine random{3};
  for (int i = 0; i < 1'500; ++i) report(model, random, 8, 0.3);
  for (int i = 0; i < 1'500; ++i) report(model, random, 0.3, 8);
  EXPECT_GT(model.loss("search", "b", 1), model.loss("search", "a", 1) + 2);
}

}  // namespace
}  // namespace coltsfoot::jobs
